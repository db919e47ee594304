//! The shape that all decisions share.

use crate::{
    clock::Timestamp,
    control::{blackboard::Blackboard, decision::Decision},
};

/// The seeded generator that controllers draw from.
pub type Rng = rand_chacha::ChaCha8Rng;

/// What one round of a controller is handed besides its events.
///
/// The controller reads any section of the blackboard, and writes the one it
/// owns. It does no I/O, reads no clock and holds no lock, so that each round
/// can be replayed (see docs/ARCHITECTURE.md).
#[derive(Debug)]
pub struct Round<'a> {
    /// The sections, of which the controller writes only its own.
    pub board: &'a mut Blackboard,
    /// The time of this round.
    pub now: Timestamp,
    /// The only source of chance.
    pub rng: &'a mut Rng,
    /// Where the controller says what it decided and why.
    pub decisions: &'a mut Vec<Decision>,
}

/// A decision maker that turns events and the blackboard into actions.
pub trait Controller {
    /// What happened outside since the last round.
    type Event;
    /// What the code that does I/O shall do.
    type Action;

    /// Names the controller in logs and decision records.
    const NAME: &'static str;

    /// Runs one round over the events since the last one.
    ///
    /// A round without events lets time pass, so that deadlines take effect.
    fn run(
        &mut self,
        events: impl IntoIterator<Item = Self::Event>,
        round: Round<'_>,
    ) -> Vec<Self::Action>;
}
