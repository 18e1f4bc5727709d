"""Every text that a variant of the policy trials replaces occurs exactly once in the sources."""

from __future__ import annotations

import shutil
import tempfile
import unittest
from pathlib import Path

from benchmarks.policy_trials.variants import VARIANTS

ROOT = Path(__file__).resolve().parents[2]


class VariantsTest(unittest.TestCase):
    def test_every_variant_applies(self) -> None:
        for name, replacements in VARIANTS.items():
            with self.subTest(variant=name), tempfile.TemporaryDirectory() as folder:
                for replacement in replacements:
                    copy = Path(folder) / replacement.file
                    if not copy.exists():
                        copy.parent.mkdir(parents=True, exist_ok=True)
                        shutil.copy(ROOT / replacement.file, copy)
                    replacement.apply(Path(folder))
                    compile(copy.read_text(encoding="utf-8"), replacement.file, "exec")


if __name__ == "__main__":
    unittest.main()
