#include "bilberrycourse/admission_client.h"

#include <gtest/gtest.h>

#include <chrono>
#include <vector>

namespace bilberrycourse {
namespace {

using std::chrono::milliseconds;

class admission_client_test : public ::testing::Test {
 protected:
  admission_client_test() {
    client_.SetOriginCount(4, now_, &out_);
    client_.SetFloor("group", 4);
  }
  void Request(std::uint64_t query) {
    admission_request request;
    request.query = query_id{query};
    request.scope = "group";
    request.caller = "c";
    request.deadline = now_ + milliseconds(1000);
    client_.Request(request, now_, &out_);
  }
  void Decide(std::uint64_t query, admission_verdict verdict,
              std::uint32_t limit = 8) {
    client_.OnDecision(
        {query_id{query},
         "group",
         verdict,
         verdict == admission_verdict::kRefused ? result_code::kOverloaded
                                                : result_code::kOk,
         {},
         limit},
        now_, &out_);
  }
  void TickAfter(duration wait) {
    now_ += wait;
    client_.Tick(now_, &out_);
  }
  void Release(std::uint64_t query) {
    client_.Release({query_id{query}, "", true, {}, {}}, now_, &out_);
  }
  template <typename effect>
  std::vector<effect> Take() {
    std::vector<effect> taken;
    for (const admission_client_effect& item : out_) {
      if (const auto* match = std::get_if<effect>(&item)) {
        taken.push_back(*match);
      }
    }
    return taken;
  }
  // Returns the granted queries and clears the effects.
  std::vector<std::uint64_t> Granted(std::size_t* refused = nullptr) {
    std::vector<std::uint64_t> granted;
    for (const admission_result& result : Take<admission_result>()) {
      if (result.granted) {
        granted.push_back(static_cast<std::uint64_t>(result.query));
      } else if (refused != nullptr) {
        ++*refused;
      }
    }
    out_.clear();
    return granted;
  }

  using list = std::vector<std::uint64_t>;
  admission_client client_;
  time_point now_{};
  admission_client::effects out_;
};

// Guards against results that are lost, duplicated or passed on too early.
TEST_F(admission_client_test, Decision_IsForwardedOnce) {
  Request(1);
  Request(2);
  Request(2);
  EXPECT_EQ(Take<send_admission_request>().size(), 2u);
  out_.clear();
  Decide(1, admission_verdict::kGranted);
  Decide(1, admission_verdict::kGranted);
  Decide(2, admission_verdict::kRefused);
  std::size_t refused = 0;
  EXPECT_EQ(Granted(&refused), (list{1}));
  EXPECT_EQ(refused, 1u);
  Release(1);
  Release(1);
  EXPECT_EQ(Take<send_admission_release>().size(), 1u);
}

// Guards against queries that wait for a paused admission instance, and against
// 4 origins that together admit more than the limit.
TEST_F(admission_client_test, NoResponse_AdmitsEqualShareOfLastLimit) {
  Request(1);
  Decide(1, admission_verdict::kGranted, 8);
  out_.clear();
  TickAfter(milliseconds(20));
  for (std::uint64_t query = 2; query <= 4; ++query) Request(query);
  EXPECT_EQ(client_.next_due(), now_ + milliseconds(10));
  TickAfter(milliseconds(9));
  EXPECT_TRUE(Granted().empty());
  TickAfter(milliseconds(1));
  EXPECT_FALSE(client_.responsive("group"));
  EXPECT_EQ(client_.share("group"), 2u);
  EXPECT_EQ(Take<admission_mode_changed>().size(), 1u);
  EXPECT_EQ(Granted(), (list{2})) << "query 1 also counts toward the share";
  TickAfter(milliseconds(1));
  Release(1);
  EXPECT_EQ(Granted(), (list{3}));
  std::size_t refused = 0;
  TickAfter(milliseconds(15));
  EXPECT_TRUE(Granted(&refused).empty());
  EXPECT_EQ(refused, 1u);
}

// Guards against a delay of 10 ms for each query while the admission instance
// is paused, and against never sending it a request again.
TEST_F(admission_client_test, Unresponsive_IsProbedByOneRequest) {
  Request(1);
  TickAfter(milliseconds(10));
  EXPECT_EQ(Granted(), (list{1}));
  Release(1);
  out_.clear();
  Request(2);
  EXPECT_TRUE(Take<send_admission_request>().empty());
  EXPECT_EQ(Granted(), (list{2}));
  Release(2);
  out_.clear();
  TickAfter(milliseconds(500));
  Request(3);
  Request(4);
  EXPECT_EQ(Take<send_admission_request>().size(), 1u);
  EXPECT_EQ(Granted(), (list{4}));
  Decide(3, admission_verdict::kGranted);
  EXPECT_TRUE(client_.responsive("group"));
  const auto reports = Take<send_admission_request>();
  ASSERT_EQ(reports.size(), 1u);
  EXPECT_EQ(reports[0].message.query, query_id{4});
  EXPECT_TRUE(reports[0].message.running) << "query 4 was admitted locally";
}

// Guards against a wait in the queue of the admission instance that is mistaken
// for a missing response.
TEST_F(admission_client_test, Queued_StaysResponsive) {
  Request(1);
  Decide(1, admission_verdict::kQueued);
  TickAfter(milliseconds(15));
  EXPECT_TRUE(client_.responsive("group"));
  Decide(1, admission_verdict::kRefused);
  std::size_t refused = 0;
  Granted(&refused);
  EXPECT_EQ(refused, 1u);
}

// Guards against late grants that are never released.
TEST_F(admission_client_test, LateGrant_IsReleased) {
  Request(1);
  Release(1);
  EXPECT_EQ(Take<send_admission_release>().size(), 1u);
  out_.clear();
  Decide(1, admission_verdict::kGranted);
  EXPECT_EQ(Take<send_admission_release>().size(), 1u);
  EXPECT_TRUE(Take<admission_result>().empty());
}

// Guards against running queries that a new admission instance does not know.
TEST_F(admission_client_test, InstanceChanged_ReportsRunningQueries) {
  Request(1);
  Decide(1, admission_verdict::kGranted);
  Request(2);
  out_.clear();
  client_.OnInstanceLost("group", now_, &out_);
  EXPECT_EQ(Granted(), (list{2})) << "the link broke: decided locally at once";
  Request(3);
  EXPECT_TRUE(Granted().empty());
  client_.OnInstanceChanged("group", now_, &out_);
  const auto sent = Take<send_admission_request>();
  ASSERT_EQ(sent.size(), 2u);
  EXPECT_TRUE(sent[0].message.running && sent[1].message.running);
  EXPECT_TRUE(client_.responsive("group"));
}

}  // namespace
}  // namespace bilberrycourse
