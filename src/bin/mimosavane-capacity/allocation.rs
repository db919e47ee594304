//! Counts allocated bytes.

use std::{
    alloc::{GlobalAlloc, Layout, System},
    sync::atomic::{AtomicUsize, Ordering::Relaxed},
};

/// The system's allocator with a counter.
#[derive(Debug)]
pub struct Counting;

static LIVE_BYTES: AtomicUsize = AtomicUsize::new(0);

/// Returns how many bytes are allocated now.
pub fn live_bytes() -> usize {
    LIVE_BYTES.load(Relaxed)
}

// SAFETY: All calls go to the system's allocator with the arguments given.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        LIVE_BYTES.fetch_add(layout.size(), Relaxed);
        // SAFETY: The caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        LIVE_BYTES.fetch_sub(layout.size(), Relaxed);
        // SAFETY: The caller keeps the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}
