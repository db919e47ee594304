//! What is done about the last samples of a group and of a step.
