#include "bilberrycourse/memory_budget.h"

#include <bit>

namespace bilberrycourse {

bool memory_holder::Resize(std::uint64_t bytes) {
  if (must_free_) return false;
  const std::uint64_t old_bytes = charged_bytes_;
  Release();
  charged_bytes_ =
      bytes > budget_->free_bytes_ ? bytes - budget_->free_bytes_ : 0;
  budget_->used_bytes_ += charged_bytes_;
  changed_at_ = ++budget_->changes_;
  Link();
  return charged_bytes_ <= old_bytes || budget_->MakeRoom(this);
}

void memory_holder::SetReclaimable(bool reclaimable) {
  if (is_linked())
    budget_->reclaimable_.erase(budget_->reclaimable_.iterator_to(*this));
  reclaimable_ = reclaimable;
  Link();
}

void memory_holder::Release() {
  if (is_linked())
    budget_->reclaimable_.erase(budget_->reclaimable_.iterator_to(*this));
  budget_->used_bytes_ -= std::exchange(charged_bytes_, 0);
}

void memory_holder::Link() {
  if (reclaimable_ && charged_bytes_ > 0) budget_->reclaimable_.insert(*this);
}

bool memory_budget::gives_way_later::operator()(const memory_holder& a,
                                                const memory_holder& b) const {
  const int a_size = std::bit_width(a.charged_bytes_);
  const int b_size = std::bit_width(b.charged_bytes_);
  return a_size != b_size ? a_size < b_size : a.changed_at_ > b.changed_at_;
}

bool memory_budget::MakeRoom(const memory_holder* requester) {
  while (used_bytes_ > max_bytes_ && !reclaimable_.empty()) {
    memory_holder& largest = *reclaimable_.rbegin();
    ++reclaims_;
    largest.Release();
    largest.must_free_ = true;
    if (&largest == requester) return false;
    largest.reclaim_();
  }
  return true;
}

}  // namespace bilberrycourse
