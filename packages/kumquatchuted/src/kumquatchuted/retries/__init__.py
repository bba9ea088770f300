"""Retries and hedges of requests, and the budgets that limit them."""
