/** @file budget_base.h Retry budget. It bounds retries to a percentage of the
 * requests, so that a total failure doesn't multiply the load. */

#ifndef CUMINVANE_BASE_BUDGET_BASE_H_
#define CUMINVANE_BASE_BUDGET_BASE_H_

#include <algorithm>

namespace cuminvane {

/** A token bucket: each request adds credit for a fraction of a retry, each
 * retry takes the credit of a whole one. */
class RetryBudget {
 public:
  /** @param percent Retries allowed per 100 requests. */
  explicit RetryBudget(int percent) : percent(percent) {}

  /** Adds the credit of one request. */
  void AddRequest() {
    this->credit = std::min(this->credit + this->percent, kMaxCredit);
  }

  /** Takes the credit of one retry if there is enough.
   * @return Whether the retry is allowed. */
  bool TrySpendRetry() {
    if (this->credit < kRetryCost)
      return false;
    this->credit -= kRetryCost;
    return true;
  }

 private:
  static constexpr int kRetryCost = 100;  ///< In hundredths of a retry.
  static constexpr int kMaxCredit =
      10 * kRetryCost;  ///< Allows a burst of ten retries.

  int percent;  ///< Credit that a request adds, in hundredths of a retry.
  int credit = kMaxCredit;  ///< Credit left, in hundredths of a retry.
};

}  // namespace cuminvane

#endif  // CUMINVANE_BASE_BUDGET_BASE_H_
