//! The slots of one step, with counts that are kept as they change.

use std::sync::Arc;

use crate::{
    clock::Timestamp,
    ids::{AttemptNumber, GroupNumber, SampleIndex, Slot},
    step::{
        attach::{Attachment, HeldGroup},
        handover::{Handover, Partial},
        length::GroupLengths,
        slot::{Phase, State},
        spec::{PromptGroup, StepSpec},
        staleness::Verdict,
        straggler::{Standing, is_eager},
    },
    table::row::Row,
};

/// The place of a slot among all slots of its step.
pub type Place = usize;

/// How many slots are in each phase.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Slots that nothing runs for.
    pub open: u32,
    /// Slots with attempts.
    pub running: u32,
    /// Slots whose sample waits for the trainer.
    pub ready: u32,
    /// Slots that the trainer holds.
    pub held: u32,
}

impl Counts {
    /// Returns how many slots have no whole sample.
    pub fn unfinished(&self) -> u32 {
        self.open + self.running
    }

    fn of(&mut self, phase: &Phase) -> &mut u32 {
        match phase {
            Phase::Open(_) => &mut self.open,
            Phase::Running(_) => &mut self.running,
            Phase::Ready(_) => &mut self.ready,
            Phase::Held => &mut self.held,
        }
    }
}

/// One group of a step.
#[derive(Clone, Debug)]
pub struct Group {
    /// What the trainer asked for.
    pub prompt: PromptGroup,
    /// The place of its first slot.
    pub first: Place,
    /// Slots without a whole sample.
    pub open_count: u32,
    /// The lengths of its whole samples.
    pub lengths: GroupLengths,
}

/// One step that this host owns.
#[derive(Debug)]
pub struct Step {
    /// What the trainer asked for.
    pub spec: Arc<StepSpec>,
    /// The row of the trainer as last seen.
    pub row: Arc<Row>,
    /// The trainer's pulls.
    pub attachment: Attachment,
    /// Whether nothing is dispatched before the trainer pulls.
    pub is_dormant: bool,
    /// Second attempts so far.
    pub hedge_count: u32,
    /// When the step was taken on.
    pub taken_at: Timestamp,
    /// Since when a sample waits for the trainer.
    pub ready_since: Option<Timestamp>,
    /// When an answer last left no slot open.
    pub completed_at: Option<Timestamp>,
    /// What the gate at dispatch last decided.
    pub verdict: Option<Verdict>,
    /// When it was last searched for stragglers.
    pub watched_at: Timestamp,
    /// Where the next search for open slots begins.
    pub cursor: Place,
    groups: Vec<Group>,
    slots: Vec<State>,
    counts: Counts,
}

impl Step {
    /// Takes on a step whose spec was checked.
    pub fn new(spec: Arc<StepSpec>, row: Arc<Row>, now: Timestamp) -> Self {
        let mut prompts = spec.groups.clone();
        prompts.sort_by_key(|prompt| prompt.group);
        let mut groups = Vec::with_capacity(prompts.len());
        let mut first = 0;
        for prompt in prompts {
            let sample_count = prompt.sample_count;
            groups.push(Group {
                prompt,
                first,
                open_count: sample_count,
                lengths: GroupLengths::default(),
            });
            first += sample_count as usize;
        }
        Self {
            spec,
            row,
            attachment: Attachment::default(),
            is_dormant: false,
            hedge_count: 0,
            taken_at: now,
            ready_since: None,
            completed_at: None,
            verdict: None,
            watched_at: now,
            cursor: 0,
            groups,
            slots: vec![State::default(); first],
            counts: Counts {
                open: u32::try_from(first).unwrap_or(u32::MAX),
                ..Counts::default()
            },
        }
    }

    /// Returns how many slots are in each phase.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns all slots in order of their places.
    pub fn slots(&self) -> &[State] {
        &self.slots
    }

    /// Returns how many slots there are.
    pub fn slot_count(&self) -> u32 {
        u32::try_from(self.slots.len()).unwrap_or(u32::MAX)
    }

    /// Returns the group of a slot.
    pub fn group_of(&self, place: Place) -> &Group {
        &self.groups[self.group_place(place)]
    }

    /// Returns the id of a slot.
    pub fn slot_id(&self, place: Place) -> Slot {
        let group = self.group_of(place);
        Slot {
            trainer: Arc::clone(&self.spec.trainer),
            step: self.spec.step,
            group: group.prompt.group,
            index: u32::try_from(place - group.first).unwrap_or(u32::MAX),
        }
    }

    /// Returns the place of a slot, or `None` where the step has no such one.
    pub fn find(&self, group: GroupNumber, index: SampleIndex) -> Option<Place> {
        let place = self
            .groups
            .binary_search_by_key(&group, |known| known.prompt.group)
            .ok()?;
        let group = &self.groups[place];
        (index < group.prompt.sample_count).then_some(group.first + index as usize)
    }

    /// Returns where a slot stands within its group and step.
    pub fn standing(&self, place: Place) -> Standing {
        Standing {
            is_pulled: self.attachment.pulled_at.is_some(),
            is_eager: is_eager(&self.row),
            group_open_count: self.group_of(place).open_count,
            step_open_count: self.counts.unfinished(),
            step_slot_count: self.slot_count(),
        }
    }

    /// Gives a slot to change, but for its phase.
    pub fn slot_mut(&mut self, place: Place) -> &mut State {
        &mut self.slots[place]
    }

    /// Moves a slot to `phase`, and returns the phase that it was in.
    pub fn set_phase(&mut self, place: Place, phase: Phase) -> Phase {
        let group = self.group_place(place);
        let was_whole = is_whole(&self.slots[place].phase);
        *self.counts.of(&self.slots[place].phase) -= 1;
        *self.counts.of(&phase) += 1;
        match (was_whole, is_whole(&phase)) {
            (false, true) => self.groups[group].open_count -= 1,
            (true, false) => self.groups[group].open_count += 1,
            _ => {}
        }
        std::mem::replace(&mut self.slots[place].phase, phase)
    }

    /// Counts the length of a whole sample towards its group.
    pub fn observe_length(&mut self, place: Place, tokens: u32) {
        let group = self.group_place(place);
        self.groups[group].lengths.observe(tokens);
    }

    /// Makes the trainer's list of held slots the truth, and returns attempts
    /// that run for a slot in it.
    ///
    /// A slot that the trainer held before and does not list is open again: the
    /// trainer restarted and lost it.
    pub fn apply_held(&mut self, held: &[HeldGroup]) -> Vec<AttemptNumber> {
        let mut is_held = vec![false; self.slots.len()];
        for group in held {
            for &index in &group.indexes {
                if let Some(place) = self.find(group.group, index) {
                    is_held[place] = true;
                }
            }
        }
        let mut idle = Vec::new();
        for (place, is_held) in is_held.into_iter().enumerate() {
            let was_held = matches!(self.slots[place].phase, Phase::Held);
            if is_held && !was_held {
                if let Phase::Running(race) = self.set_phase(place, Phase::Held) {
                    idle.extend(race.attempts().map(|attempt| attempt.number));
                }
            } else if was_held && !is_held {
                self.set_phase(place, Phase::Open(None));
            }
        }
        idle
    }

    /// Returns the places of whole samples, those of nearly whole groups first.
    pub fn ready_places(&self) -> Vec<Place> {
        let mut places: Vec<Place> = (0..self.slots.len())
            .filter(|&place| matches!(self.slots[place].phase, Phase::Ready(_)))
            .collect();
        places.sort_by_key(|&place| (self.group_of(place).open_count, place));
        places
    }

    /// Returns all attempts that run.
    pub fn attempts(&self) -> impl Iterator<Item = AttemptNumber> {
        self.slots
            .iter()
            .filter_map(|slot| match &slot.phase {
                Phase::Running(race) => Some(race.attempts().map(|attempt| attempt.number)),
                _ => None,
            })
            .flatten()
    }

    /// Packs what the next owner can use.
    pub fn pack(&self) -> Handover {
        let mut samples = Vec::new();
        let mut partials = Vec::new();
        for (place, slot) in self.slots.iter().enumerate() {
            let proved = match &slot.phase {
                Phase::Ready(sample) => {
                    samples.push(Arc::clone(sample));
                    continue;
                }
                Phase::Open(Some(proved)) => proved.as_ref(),
                Phase::Running(race) => &race.first.proved,
                Phase::Open(None) | Phase::Held => continue,
            };
            if !proved.tokens.is_empty() {
                let id = self.slot_id(place);
                partials.push(Partial {
                    group: id.group,
                    index: id.index,
                    proved: proved.clone(),
                });
            }
        }
        Handover {
            spec: Arc::clone(&self.spec),
            attach: self.attachment.highest,
            weight_version: self.attachment.weight_version,
            samples,
            partials,
        }
    }

    /// Takes in what an earlier owner packed; what this host has already stays.
    pub fn unpack(&mut self, handover: Handover) {
        if handover.attach > self.attachment.highest {
            self.attachment.highest = handover.attach;
            self.attachment.weight_version = handover.weight_version;
        }
        for sample in handover.samples {
            let slot = &sample.slot;
            let Some(place) = self.find(slot.group, slot.index) else {
                continue;
            };
            if matches!(self.slots[place].phase, Phase::Open(_)) {
                self.observe_length(place, sample.token_count());
                self.set_phase(place, Phase::Ready(sample));
            }
        }
        for partial in handover.partials {
            let Some(place) = self.find(partial.group, partial.index) else {
                continue;
            };
            if matches!(self.slots[place].phase, Phase::Open(None)) {
                self.set_phase(place, Phase::Open(Some(Box::new(partial.proved))));
            }
        }
    }

    fn group_place(&self, place: Place) -> usize {
        self.groups.partition_point(|group| group.first <= place) - 1
    }
}

fn is_whole(phase: &Phase) -> bool {
    matches!(phase, Phase::Ready(_) | Phase::Held)
}
