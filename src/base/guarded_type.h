/** @file guarded_type.h A value that is only accessible with its mutex locked.
 */

#ifndef CUMINVANE_BASE_GUARDED_TYPE_H_
#define CUMINVANE_BASE_GUARDED_TYPE_H_

#include <utility>

namespace cuminvane {

/** A mutex that does nothing, for single-threaded use. */
struct NullMutex {
  void lock() {}
  void unlock() {}
};

template <class M>
concept Lockable = requires(M& mutex) {
  mutex.lock();
  mutex.unlock();
};

/**
 * A value that is only accessible with its mutex locked.
 * @tparam T Type of the value.
 * @tparam Mutex Type of the mutex, for example NullMutex.
 */
template <class T, Lockable Mutex>
class Guarded {
 public:
  template <class... Args>
  explicit Guarded(Args&&... args) : value(std::forward<Args>(args)...) {}

  /**
   * @param function Called with the value while the mutex is locked.
   * @return The function's return value.
   */
  template <class Function>
  decltype(auto) WithLock(Function&& function) {
    const ScopedLock lock(this->mutex);
    return std::forward<Function>(function)(this->value);
  }

  /**
   * @param function Called with the constant value while the mutex is locked.
   * @return The function's return value.
   */
  template <class Function>
  decltype(auto) WithLock(Function&& function) const {
    const ScopedLock lock(this->mutex);
    return std::forward<Function>(function)(this->value);
  }

 private:
  /** Keeps the mutex locked for one scope. */
  class ScopedLock {
   public:
    explicit ScopedLock(Mutex& mutex) : mutex(mutex) { this->mutex.lock(); }
    ~ScopedLock() { this->mutex.unlock(); }
    ScopedLock(const ScopedLock&) = delete;
    ScopedLock& operator=(const ScopedLock&) = delete;

   private:
    Mutex& mutex;
  };

  mutable Mutex mutex;
  T value;
};

}  // namespace cuminvane

#endif  // CUMINVANE_BASE_GUARDED_TYPE_H_
