"""HTTP and gRPC front ends for callers, clients, other entries and operators."""
