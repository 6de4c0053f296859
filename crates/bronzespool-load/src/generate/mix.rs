//! Which requests are sent: kinds by given weights, teams by their declared rates.

use {
    bronzespool::core::{Config, Mode, Service},
    std::time::Duration,
};

/// One kind of request of one team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestTemplate {
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
pub struct RequestMix {
    templates: Vec<RequestTemplate>,
    cumulative_weights: Vec<u64>,
}

impl RequestMix {
    /// Request kinds of `service` by `weights`, each by the rates of the service's teams. Kinds
    /// without a weight are left out; no deadline is longer than `deadline`.
    pub fn from_config(
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
                let template = RequestTemplate {
                    service: service.to_string(),
                    kind: kind.to_string(),
                    team: team.to_string(),
                    protected: kind_spec.protected,
                    deadline: kind_spec.deadline.min(deadline),
                };
                mix.push(template, *weight * team_spec.rate);
            }
        }
        mix
    }

    /// The items of one team only.
    #[must_use]
    pub fn for_team(&self, team: &str) -> Self {
        let mut mix = Self::default();
        let mut previous = 0;
        for (template, end) in self.templates.iter().zip(&self.cumulative_weights) {
            if template.team == team {
                mix.push(template.clone(), u32::try_from(end - previous).unwrap_or(u32::MAX));
            }
            previous = *end;
        }
        mix
    }

    /// The items of one kind only.
    #[must_use]
    pub fn for_kind(&self, kind: &str) -> Self {
        let mut mix = Self::default();
        let mut previous = 0;
        for (template, end) in self.templates.iter().zip(&self.cumulative_weights) {
            if template.kind == kind {
                mix.push(template.clone(), u32::try_from(end - previous).unwrap_or(u32::MAX));
            }
            previous = *end;
        }
        mix
    }

    /// Adds a template.
    pub fn push(&mut self, template: RequestTemplate, weight: u32) {
        self.templates.push(template);
        self.cumulative_weights.push(self.total() + u64::from(weight));
    }

    /// All items.
    pub fn templates(&self) -> &[RequestTemplate] {
        &self.templates
    }

    /// Picks a template by weight; `None` if there is none.
    pub fn pick(&self, rng: &mut fastrand::Rng) -> Option<&RequestTemplate> {
        let total = self.total();
        if total == 0 {
            return None;
        }
        let point = rng.u64(..total);
        let index = self.cumulative_weights.partition_point(|end| *end <= point);
        self.templates.get(index)
    }

    fn total(&self) -> u64 {
        self.cumulative_weights.last().copied().unwrap_or_default()
    }
}
