"""Settings in INI: parsing, checks, defaults and the tree of branches."""
