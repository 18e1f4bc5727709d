"""The core: calls and attempts between who asks, who serves and the decision module. Knows no wire."""
