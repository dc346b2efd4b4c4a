"""Quotas of organisations, kept over all instances."""
