"""State and rules that live for one version of the configuration."""
