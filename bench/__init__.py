"""Benchmarks of latency, throughput and cost on a system of real processes."""
