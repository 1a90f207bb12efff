"""The bench's wire: framing, words and units. No decision is taken here."""
