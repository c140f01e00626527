"""Tests of the application."""
