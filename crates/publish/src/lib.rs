//! Publication of checked sets and their spread to every VM.
