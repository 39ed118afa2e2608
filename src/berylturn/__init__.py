"""Layer-4 load balancer for backend servers that suddenly carry crowds."""
