"""Front ends for callers, other entries and operators."""
