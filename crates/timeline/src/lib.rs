//! A bounded ring of typed events with a hybrid logical clock, and the merge of many rings.
