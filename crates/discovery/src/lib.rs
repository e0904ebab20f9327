//! Answers which address a caller should use, and the drain of a leaving VM.
