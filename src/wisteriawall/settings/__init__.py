"""Settings of the programs, validated before a program starts."""
