"""Development tools for verbenathread; not part of the product."""
