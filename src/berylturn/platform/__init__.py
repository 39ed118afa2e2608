"""The users' platform: names, formats and calls; nothing here decides."""
