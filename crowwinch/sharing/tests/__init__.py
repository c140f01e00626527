"""Tests of crowwinch.sharing."""
