"""Tests of crowds of clients outside the limits: run one at a time, apart from other load (last in `.ci/run`)."""
