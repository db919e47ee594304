//! Collection of decision records from all hosts.
