"""Overload handled by the fleet as one: shares of budgets, one cut, times to come back."""
