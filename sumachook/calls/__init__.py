"""Whether calls to servers may have run, tracked alike for forwarded requests, inference requests and orders."""
