"""Fleet files: their records, their checks, and the operators' files generated from them."""
