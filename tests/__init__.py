"""Tests of dotterelpier."""
