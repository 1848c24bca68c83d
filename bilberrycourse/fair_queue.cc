#include "bilberrycourse/fair_queue.h"

#include <algorithm>

namespace bilberrycourse {
namespace {

constexpr double kMinWeight = 0.01;

}  // namespace

fair_queue::~fair_queue() {
  round_robin_.clear();
  for (auto& [name, queue] : callers_) {
    for (auto& lane : queue.lanes) {
      lane->entries.clear_and_dispose(
          [](fair_queue_entry* entry) { entry->queue = nullptr; });
    }
  }
}

void fair_queue::Push(fair_queue_entry* entry, const caller_name& caller,
                      double weight) {
  const auto [found, is_new] = callers_.try_emplace(caller);
  caller_queue& queue = found->second;
  if (is_new) {
    queue.caller = caller;
    round_robin_.push_back(queue);
  }
  queue.weight = std::max(weight, kMinWeight);
  auto lane =
      std::find_if(queue.lanes.begin(), queue.lanes.end(),
                   [&](const auto& l) { return l->version == entry->version; });
  if (lane == queue.lanes.end()) {
    queue.lanes.push_back(std::make_unique<caller_queue::lane>());
    lane = std::prev(queue.lanes.end());
    (*lane)->version = entry->version;
  }
  entry->sequence = next_sequence_++;
  entry->queue = &queue;
  (*lane)->entries.insert(*entry);
  ++queue.size;
  ++size_;
}

void fair_queue::Remove(fair_queue_entry* entry) {
  caller_queue& queue = *entry->queue;
  auto lane =
      std::find_if(queue.lanes.begin(), queue.lanes.end(),
                   [&](const auto& l) { return l->version == entry->version; });
  (*lane)->entries.erase((*lane)->entries.iterator_to(*entry));
  entry->queue = nullptr;
  if ((*lane)->entries.empty()) queue.lanes.erase(lane);
  --queue.size;
  --size_;
  if (queue.size == 0) {
    round_robin_.erase(round_robin_.iterator_to(queue));
    callers_.erase(callers_.find(queue.caller));
  }
}

fair_queue_entry* fair_queue::Earliest(caller_queue& queue,
                                       const version_filter& may_run) {
  fair_queue_entry* earliest = nullptr;
  for (const auto& lane : queue.lanes) {
    fair_queue_entry& first = *lane->entries.begin();
    if ((earliest == nullptr || first < *earliest) && may_run(lane->version)) {
      earliest = &first;
    }
  }
  return earliest;
}

void fair_queue::Rotate(caller_queue* queue) {
  round_robin_.erase(round_robin_.iterator_to(*queue));
  round_robin_.push_back(*queue);
}

fair_queue_entry* fair_queue::Pop(const version_filter& may_run) {
  // The search ends after a full round of callers without a runnable entry.
  // Skipping a caller does not change its deficit.
  std::size_t skipped_callers = 0;
  while (skipped_callers < callers_.size()) {
    caller_queue& queue = round_robin_.front();
    fair_queue_entry* entry = Earliest(queue, may_run);
    if (entry == nullptr) {
      ++skipped_callers;
      Rotate(&queue);
      continue;
    }
    skipped_callers = 0;
    if (!queue.in_turn) {
      queue.in_turn = true;
      queue.deficit += queue.weight;
    }
    if (queue.deficit < 1) {
      queue.in_turn = false;
      Rotate(&queue);
      continue;
    }
    queue.deficit -= 1;
    if (queue.deficit < 1) {
      queue.in_turn = false;
      Rotate(&queue);
    }
    Remove(entry);
    return entry;
  }
  return nullptr;
}

fair_queue_entry* fair_queue::EvictionCandidate() {
  caller_queue* longest = nullptr;
  for (caller_queue& queue : round_robin_) {
    if (longest == nullptr ||
        static_cast<double>(queue.size) / queue.weight >
            static_cast<double>(longest->size) / longest->weight) {
      longest = &queue;
    }
  }
  if (longest == nullptr) return nullptr;
  fair_queue_entry* latest = nullptr;
  for (const auto& lane : longest->lanes) {
    fair_queue_entry& last = *lane->entries.rbegin();
    if (latest == nullptr || *latest < last) latest = &last;
  }
  return latest;
}

void fair_queue::ForEach(
    const std::function<void(const fair_queue_entry&)>& visit) const {
  for (const caller_queue& queue : round_robin_) {
    for (const auto& lane : queue.lanes) {
      for (const fair_queue_entry& entry : lane->entries) visit(entry);
    }
  }
}

}  // namespace bilberrycourse
