//! Checks that segments name the weights that generated each token, and that
//! tokens whose weights are not proved are removed.

use bolero::check;
use mimosavane::engine::evidence::{Chunk, Evidence, EvidenceError, ProvedTokens, Segment};

fn chunk(index: u32, tokens: &[u32], version: u64) -> Chunk {
    Chunk {
        index: Some(index),
        token_ids: tokens.to_vec(),
        weight_version: Some(version),
        boot: Some(1),
        ..Chunk::default()
    }
}

fn segment(first_token: u32, token_count: u32, weight_version: u64) -> Segment {
    Segment {
        weight_version,
        first_token,
        token_count,
        adapter: "".into(),
        adapter_version: 0,
    }
}

fn on_adapter(chunk: Chunk, adapter: &str, adapter_version: u64) -> Chunk {
    Chunk {
        adapter: adapter.into(),
        adapter_version,
        ..chunk
    }
}

fn last_chunk(index: u32) -> Chunk {
    Chunk {
        index: Some(index),
        boot: Some(1),
        is_last: true,
        ..Chunk::default()
    }
}

fn push_all(evidence: &mut Evidence, chunks: &[Chunk]) -> Result<(), EvidenceError> {
    chunks.iter().try_for_each(|chunk| evidence.push(chunk))
}

#[test]
fn swap_midway() {
    let mut evidence = Evidence::new(true);
    push_all(&mut evidence, &[chunk(0, &[0, 1], 4), chunk(1, &[2], 5)]).unwrap();
    assert_eq!(evidence.proved().tokens, [0, 1], "the swap may still fail");
    evidence.push(&last_chunk(2)).unwrap();
    let whole = evidence.finish().unwrap();
    assert_eq!(whole.segments, [segment(0, 2, 4), segment(2, 1, 5)]);
}

#[test]
fn failed_swap() {
    let mut evidence = Evidence::new(true);
    let chunks = [chunk(0, &[0], 4), chunk(1, &[1], 5), chunk(2, &[2], 4)];
    let error = push_all(&mut evidence, &chunks).unwrap_err();
    assert_eq!(error, EvidenceError::VersionWentBack { from: 5, to: 4 });
    assert_eq!(evidence.proved().segments, [segment(0, 1, 4)]);
}

#[test]
fn reported_swap() {
    let mut evidence = Evidence::new(true);
    push_all(&mut evidence, &[chunk(0, &[0], 4), chunk(1, &[1], 5)]).unwrap();
    evidence.reject_swap(5);
    assert_eq!(evidence.proved().tokens, [0]);
    assert!(evidence.finish().is_err());
}

#[test]
fn missing_tag() {
    let mut evidence = Evidence::new(true);
    evidence.push(&chunk(0, &[0], 4)).unwrap();
    let untagged = Chunk {
        weight_version: None,
        ..chunk(1, &[1], 4)
    };
    let error = evidence.push(&untagged).unwrap_err();
    assert_eq!(error, EvidenceError::Untagged { token: 1 });
    assert!(
        evidence.push(&chunk(2, &[2], 4)).is_err(),
        "later chunks are rejected"
    );
    assert_eq!(evidence.proved().tokens, [0]);
}

#[test]
fn engine_restart() {
    let mut evidence = Evidence::new(true);
    evidence.push(&chunk(0, &[0], 4)).unwrap();
    let restarted = Chunk {
        boot: Some(2),
        ..chunk(1, &[1], 4)
    };
    let error = evidence.push(&restarted).unwrap_err();
    let expected = EvidenceError::Restarted {
        before: 1,
        after: 2,
    };
    assert_eq!(error, expected);
    assert_eq!(evidence.proved().tokens, [0]);
}

#[test]
fn restart_in_swap() {
    let mut evidence = Evidence::new(true);
    push_all(&mut evidence, &[chunk(0, &[0], 4), chunk(1, &[1], 5)]).unwrap();
    let restarted = Chunk {
        boot: Some(2),
        ..chunk(2, &[2], 5)
    };
    evidence.push(&restarted).unwrap_err();
    assert_eq!(evidence.proved().segments, [segment(0, 1, 4)]);
}

#[test]
fn missing_chunk() {
    let mut evidence = Evidence::new(true);
    push_all(&mut evidence, &[chunk(0, &[0], 4), chunk(2, &[2], 4)]).unwrap();
    assert_eq!(evidence.proved().tokens, [0]);
    let expected = EvidenceError::Gap {
        expected: 1,
        found: 2,
    };
    assert_eq!(evidence.finish(), Err(expected));
}

#[test]
fn reordered_chunks() {
    let mut evidence = Evidence::new(true);
    let chunks = [
        last_chunk(2),
        chunk(1, &[2], 5),
        chunk(0, &[0, 1], 4),
        chunk(1, &[2], 5),
        chunk(0, &[0, 1], 4),
    ];
    push_all(&mut evidence, &chunks).unwrap();
    assert_eq!(evidence.finish().unwrap().tokens, [0, 1, 2]);
}

#[test]
fn conflicting_chunks() {
    let mut evidence = Evidence::new(true);
    push_all(&mut evidence, &[chunk(0, &[0], 4), chunk(1, &[1], 4)]).unwrap();
    let error = evidence.push(&chunk(1, &[9], 4)).unwrap_err();
    assert_eq!(error, EvidenceError::Conflict { index: 1 });
    assert_eq!(evidence.proved().tokens, [0]);
}

#[test]
fn single_version() {
    let mut evidence = Evidence::new(false);
    let chunks = [chunk(0, &[0], 4), chunk(1, &[1], 5)];
    let error = push_all(&mut evidence, &chunks).unwrap_err();
    let expected = EvidenceError::MixedVersions {
        first: 4,
        second: 5,
    };
    assert_eq!(error, expected);
    assert_eq!(evidence.proved().segments, [segment(0, 1, 4)]);
}

#[test]
fn token_resume() {
    let earlier = ProvedTokens {
        tokens: vec![0, 1],
        segments: vec![segment(0, 2, 4)],
    };
    let mut evidence = Evidence::resume(earlier, true);
    push_all(&mut evidence, &[chunk(0, &[2], 3), last_chunk(1)]).unwrap();
    let whole = evidence.finish().unwrap();
    assert_eq!(whole.segments, [segment(0, 2, 4), segment(2, 1, 3)]);
    assert_eq!(whole.oldest_version(), Some(3));
}

#[test]
fn cache_import() {
    let earlier = ProvedTokens {
        tokens: vec![0, 1],
        segments: vec![segment(0, 2, 4)],
    };
    let mut evidence = Evidence::import(earlier, segment(0, 0, 3), true);
    push_all(&mut evidence, &[chunk(0, &[2], 5), last_chunk(1)]).unwrap();
    let whole = evidence.finish().unwrap();
    let expected = [segment(0, 2, 4), segment(2, 0, 3), segment(2, 1, 5)];
    assert_eq!(
        whole.segments, expected,
        "a segment names the weights of the cache"
    );
    assert_eq!(whole.oldest_version(), Some(3));

    let mut single = Evidence::import(ProvedTokens::default(), segment(0, 0, 4), false);
    assert!(single.push(&chunk(0, &[0], 5)).is_err());
}

#[test]
fn adapter_on_base() {
    let mut evidence = Evidence::new(true);
    let chunks = [
        on_adapter(chunk(0, &[0], 4), "menus", 40),
        on_adapter(chunk(1, &[1], 4), "menus", 41),
    ];
    push_all(&mut evidence, &chunks).unwrap();
    let other = on_adapter(chunk(2, &[2], 4), "routes", 41);
    let error = evidence.clone().push(&other).unwrap_err();
    assert!(matches!(error, EvidenceError::AdapterChanged { .. }));
    evidence.push(&last_chunk(2)).unwrap();
    let whole = evidence.finish().unwrap();
    assert_eq!(whole.segments.len(), 2);
    assert_eq!(
        whole.oldest_version(),
        Some(40),
        "the trainer's versions are those of the adapter"
    );
}

#[test]
fn cut_answer() {
    let mut evidence = Evidence::new(true);
    evidence.push(&chunk(0, &[0, 1], 4)).unwrap();
    assert_eq!(evidence.proved().tokens, [0, 1]);
    let expected = EvidenceError::Unfinished { tokens: 2 };
    assert_eq!(evidence.finish(), Err(expected));
}

#[test]
fn empty_answer() {
    let mut evidence = Evidence::new(true);
    evidence.push(&last_chunk(0)).unwrap();
    assert_eq!(evidence.finish(), Err(EvidenceError::Empty));
}

/// The next step of the model engine.
#[derive(Clone, Copy)]
enum Step {
    Generate,
    Swap,
    FailSwap,
    Revert,
    Crash,
    OmitTag,
    Report,
}

impl Step {
    fn from_byte(byte: u8) -> Self {
        match byte % 16 {
            0 => Self::Swap,
            1 | 2 => Self::FailSwap,
            3 => Self::Revert,
            4 => Self::Crash,
            5 => Self::OmitTag,
            6 => Self::Report,
            _ => Self::Generate,
        }
    }
}

/// A model engine that records the true weights of each of its tokens.
#[derive(Default)]
struct Engine {
    /// The true version of each token; `None` while a swap is broken.
    truth: Vec<Option<u64>>,
    tag_version: u64,
    boot: u64,
    loaded_version: u64,
    is_swap_broken: bool,
    reports_failure_of: Option<u64>,
}

impl Engine {
    fn step(&mut self, step: Step) {
        match step {
            Step::Swap if !self.is_swap_broken => {
                self.tag_version += 1;
                self.loaded_version = self.tag_version;
            }
            // An engine starts a request only on completely loaded weights.
            Step::FailSwap if !self.is_swap_broken && !self.truth.is_empty() => {
                self.tag_version += 1;
                self.is_swap_broken = true;
            }
            Step::Revert if self.is_swap_broken => {
                self.tag_version = self.loaded_version;
                self.is_swap_broken = false;
            }
            Step::Crash => {
                self.boot += 1;
                self.tag_version = self.loaded_version;
                self.is_swap_broken = false;
            }
            Step::Report if self.is_swap_broken => self.reports_failure_of = Some(self.tag_version),
            _ => {}
        }
    }

    fn generate(&mut self, index: usize, byte: u8) -> Chunk {
        let count = 1 + usize::from(byte >> 6);
        let first = self.truth.len();
        let version = (!self.is_swap_broken).then_some(self.loaded_version);
        self.truth.extend(std::iter::repeat_n(version, count));
        Chunk {
            index: u32::try_from(index).ok(),
            token_ids: (first..first + count).map(|id| id as u32).collect(),
            weight_version: Some(self.tag_version),
            boot: Some(self.boot),
            ..Chunk::default()
        }
    }

    fn check(&self, proved: &ProvedTokens) {
        let ids: Vec<u32> = (0..proved.tokens.len() as u32).collect();
        assert_eq!(
            proved.tokens, ids,
            "the tokens are a prefix of those generated"
        );
        let mut claimed = Vec::new();
        for segment in &proved.segments {
            let count = segment.token_count as usize;
            claimed.extend(std::iter::repeat_n(Some(segment.weight_version), count));
        }
        assert_eq!(claimed, self.truth[..ids.len()]);
    }
}

/// Runs one stream, whose transport repeats, reorders and loses chunks, and
/// returns whether it completed without an error.
fn run_stream(bytes: &[u8]) -> bool {
    let mut engine = Engine::default();
    let mut evidence = Evidence::new(true);
    let mut sent: Vec<Chunk> = Vec::new();
    let mut delayed: Option<Chunk> = None;
    let mut push_result = Ok(());
    for &byte in bytes {
        let step = Step::from_byte(byte);
        engine.step(step);
        if let Some(version) = engine.reports_failure_of {
            evidence.reject_swap(version);
        }
        let mut chunk = engine.generate(sent.len(), byte);
        if matches!(step, Step::OmitTag) {
            chunk.weight_version = None;
        }
        sent.push(chunk.clone());
        let arrivals = match byte {
            20..24 => vec![],
            24..40 => vec![chunk.clone(), chunk],
            40..56 if delayed.is_none() => {
                delayed = Some(chunk);
                vec![]
            }
            56..60 => vec![sent[0].clone(), chunk],
            _ => [chunk].into_iter().chain(delayed.take()).collect(),
        };
        for arrival in arrivals {
            push_result = evidence.push(&arrival);
            engine.check(&evidence.proved());
        }
    }
    // An engine whose swap failed reports that before it completes an answer.
    if engine.is_swap_broken {
        evidence.reject_swap(engine.tag_version);
    }
    let last = Chunk {
        index: u32::try_from(sent.len()).ok(),
        boot: Some(engine.boot),
        is_last: true,
        ..Chunk::default()
    };
    push_result = push_result.and_then(|()| evidence.push(&last));
    engine.check(&evidence.proved());
    let finished = evidence.finish();
    if let Ok(whole) = &finished {
        engine.check(whole);
    }
    push_result.is_ok() && finished.is_ok()
}

#[test]
fn engine_model() {
    check!()
        .with_iterations(10_000)
        .with_max_len(24)
        .for_each(|bytes: &[u8]| {
            run_stream(bytes);
        });
}

#[test]
fn clean_stream() {
    // A stream with two successful swaps is proved to the end.
    assert!(run_stream(&[64, 71, 80, 72, 96, 73]));
}
