//! Filters and their composition, without dynamic dispatch.

use bronzespool::core::Refusal;

/// Result of a filter.
pub(in crate::entry) type Result<T> = std::result::Result<T, Refusal>;

/// One step of the chain.
pub(in crate::entry) trait Filter<In> {
    /// What the next filter gets.
    type Out;

    /// Checks and enriches, or refuses. A refusal here is always true: nothing was started.
    async fn apply(&self, input: In) -> Result<Self::Out>;
}

/// Two filters, one after the other.
pub(in crate::entry) struct Then<A, B>(pub(in crate::entry) A, pub(in crate::entry) B);

impl<In, A, B> Filter<In> for Then<A, B>
where
    A: Filter<In>,
    B: Filter<A::Out>,
{
    type Out = B::Out;

    async fn apply(&self, input: In) -> Result<Self::Out> {
        self.1.apply(self.0.apply(input).await?).await
    }
}
