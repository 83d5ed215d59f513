"""The real sidecar: sockets round the decision module. No decision is made here."""
