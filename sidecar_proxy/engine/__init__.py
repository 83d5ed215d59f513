"""The only caller of the decisions: clock, timers, the ledger of what is owed, and the seams to the rest."""
