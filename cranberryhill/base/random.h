#ifndef CRANBERRYHILL_BASE_RANDOM_H_
#define CRANBERRYHILL_BASE_RANDOM_H_

// Random numbers behind an interface, so that one seed gives one result.
//
//   SeededRandom random(42);
//   size_t index = random.UniformInt(0, candidates.size() - 1);

#include <cstdint>
#include <random>

namespace cranberryhill {

/// Source of random numbers. Not thread-safe.
class Random {
 public:
  virtual ~Random() = default;

  /// @return A number from `low` to `high`, both included. Requires low<=high.
  virtual uint64_t UniformInt(uint64_t low, uint64_t high) = 0;

  /// @return A number from 0, included, to 1, excluded.
  virtual double UniformDouble() = 0;
};

/// Mersenne twister with a fixed seed.
class SeededRandom : public Random {
 public:
  explicit SeededRandom(uint64_t seed) : engine(seed) {}

  uint64_t UniformInt(uint64_t low, uint64_t high) override;
  double UniformDouble() override;

 private:
  std::mt19937_64 engine;
};

/// @return A seed from the system's entropy source.
uint64_t EntropySeed();

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_BASE_RANDOM_H_
