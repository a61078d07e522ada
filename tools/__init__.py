"""Programs for those who work on verbenathread; not part of the product."""
