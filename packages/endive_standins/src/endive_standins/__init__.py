"""Stand-ins for the platform and the backend servers, with faults to order."""
