"""Outlier detection: ejects servers that fail far more than others, by the combined reports of all edges."""
