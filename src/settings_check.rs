//! Checks a settings file and reports all mistakes at once.
