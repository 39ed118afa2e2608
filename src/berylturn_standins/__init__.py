"""Small stand-ins for the outside systems that berylturn talks to."""
