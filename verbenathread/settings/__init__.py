"""INI settings: parsing, validation, defaults and the branch tree."""
