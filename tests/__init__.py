"""Tests of verbenathread; each module mirrors one of the package."""
