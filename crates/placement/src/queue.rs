//! The queue of waiting jobs.

use crate::view::JobView;
use types::{JobClass, JobId, SortedMap, TeamName, Timestamp};

/// Assumed latest start, after submission, of a job without a deadline.
const DEFAULT_LATEST_START: std::time::Duration = std::time::Duration::from_secs(24 * 3_600);

/// Sort key of a job: its latest start, or its submission for urgent jobs and services; then its
/// id.
pub(crate) type Key = (Timestamp, JobId);

/// Jobs sorted by [`Key`].
#[derive(Clone, Debug, Default)]
pub(crate) struct SortedJobs(Vec<Key>);

impl SortedJobs {
    fn insert(&mut self, key: Key) {
        if let Err(i) = self.0.binary_search(&key) {
            self.0.insert(i, key);
        }
    }

    fn remove(&mut self, key: &Key) {
        if let Ok(i) = self.0.binary_search(key) {
            self.0.remove(i);
        }
    }

    pub(crate) fn get(&self, i: usize) -> Option<Key> {
        self.0.get(i).copied()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = Key> + '_ {
        self.0.iter().copied()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// The list that contains a job, and its key there.
#[derive(Clone, Debug, PartialEq)]
enum Position {
    Urgent(Key),
    Service(Key),
    Team(TeamName, Key),
}

/// All waiting jobs: urgent jobs, services, and all others by team.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    pub(crate) urgent: SortedJobs,
    pub(crate) services: SortedJobs,
    pub(crate) teams: SortedMap<TeamName, SortedJobs>,
    positions: SortedMap<JobId, Position>,
}

impl Queue {
    /// Inserts a job or moves it to its new position. `latest_start` is when it must start to meet
    /// its deadline.
    pub(crate) fn insert(&mut self, job: &JobView, latest_start: Option<Timestamp>) {
        let arrival = (job.submitted, job.id);
        let position = if job.urgent {
            Position::Urgent(arrival)
        } else if job.class == JobClass::Service {
            Position::Service(arrival)
        } else {
            let start = latest_start.unwrap_or(job.submitted + DEFAULT_LATEST_START);
            Position::Team(job.team.clone(), (start, job.id))
        };
        if self.positions.get(&job.id) == Some(&position) {
            return;
        }
        self.remove(job.id);
        match &position {
            Position::Urgent(key) => self.urgent.insert(*key),
            Position::Service(key) => self.services.insert(*key),
            Position::Team(team, key) => {
                self.teams.get_or_insert_with(team.clone(), SortedJobs::default).insert(*key)
            }
        }
        self.positions.insert(job.id, position);
    }

    pub(crate) fn remove(&mut self, id: JobId) {
        match self.positions.remove(&id) {
            Some(Position::Urgent(key)) => self.urgent.remove(&key),
            Some(Position::Service(key)) => self.services.remove(&key),
            Some(Position::Team(team, key)) => {
                let Some(jobs) = self.teams.get_mut(&team) else { return };
                jobs.remove(&key);
                if jobs.is_empty() {
                    self.teams.remove(&team);
                }
            }
            None => {}
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.positions.len()
    }
}
