"""Code generated from proto/ by ``make schema``."""
