//! Which requests are sent: kinds by given weights, teams by their declared rates.

use {
    bronzespool::core::{Config, Mode, Service},
    std::time::Duration,
};

/// One kind of request of one team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The service.
    pub service: String,
    /// The kind.
    pub kind: String,
    /// The team that calls.
    pub team: String,
    /// Whether the kind needs an idempotency key.
    pub protected: bool,
    /// Time that the caller waits.
    pub deadline: Duration,
}

/// Items with their weights.
#[derive(Clone, Debug, Default)]
pub struct Mix {
    items: Vec<Item>,
    ends: Vec<u64>,
}

impl Mix {
    /// Request kinds of `service` by `weights`, each by the rates of the service's teams. Kinds
    /// without a weight are left out; no deadline is longer than `deadline`.
    pub fn of(
        config: &Config,
        service: &Service,
        weights: &[(&str, u32)],
        deadline: Duration,
    ) -> Self {
        let mut mix = Self::default();
        let Some(spec) = config.services.get(service) else {
            return mix;
        };
        for (kind, kind_spec) in &spec.kinds {
            let weight = weights.iter().find(|(name, _)| *name == kind.as_str());
            let Some((_, weight)) = weight.filter(|_| kind_spec.mode == Mode::Request) else {
                continue;
            };
            for (team, team_spec) in &spec.teams {
                let item = Item {
                    service: service.to_string(),
                    kind: kind.to_string(),
                    team: team.to_string(),
                    protected: kind_spec.protected,
                    deadline: kind_spec.deadline.min(deadline),
                };
                mix.push(item, *weight * team_spec.rate);
            }
        }
        mix
    }

    /// The items of one team only.
    #[must_use]
    pub fn team(&self, team: &str) -> Self {
        let mut mix = Self::default();
        let mut begin = 0;
        for (item, end) in self.items.iter().zip(&self.ends) {
            if item.team == team {
                mix.push(item.clone(), u32::try_from(end - begin).unwrap_or(u32::MAX));
            }
            begin = *end;
        }
        mix
    }

    /// The items of one kind only.
    #[must_use]
    pub fn kind(&self, kind: &str) -> Self {
        let mut mix = Self::default();
        let mut begin = 0;
        for (item, end) in self.items.iter().zip(&self.ends) {
            if item.kind == kind {
                mix.push(item.clone(), u32::try_from(end - begin).unwrap_or(u32::MAX));
            }
            begin = *end;
        }
        mix
    }

    /// Adds an item.
    pub fn push(&mut self, item: Item, weight: u32) {
        self.items.push(item);
        self.ends.push(self.total() + u64::from(weight));
    }

    /// All items.
    pub fn items(&self) -> &[Item] {
        &self.items
    }

    /// Picks an item by weight; `None` if there is none.
    pub fn pick(&self, rng: &mut fastrand::Rng) -> Option<&Item> {
        let total = self.total();
        if total == 0 {
            return None;
        }
        let point = rng.u64(..total);
        let index = self.ends.partition_point(|end| *end <= point);
        self.items.get(index)
    }

    fn total(&self) -> u64 {
        self.ends.last().copied().unwrap_or_default()
    }
}
