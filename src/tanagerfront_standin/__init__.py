"""Stand-ins for the platform and the databases, for tests and the demonstration."""
