"""The flight recorder: what went into the decisions and what came out, kept, written out, played again."""
