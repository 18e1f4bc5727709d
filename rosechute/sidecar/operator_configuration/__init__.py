"""Operator configuration file: schema (`spec`), parsing (`reading`), effective values (`effective`) and the
safety checks (`proof`)."""
