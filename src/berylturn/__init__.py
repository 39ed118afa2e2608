"""Layer-4 load balancer for backend servers with sudden load peaks."""
