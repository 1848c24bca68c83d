#ifndef BILBERRYCOURSE_WIRE_BUFFER_H_
#define BILBERRYCOURSE_WIRE_BUFFER_H_

// FlatBuffers helpers for the codecs of the library. Include only in .cc files.

#include <flatbuffers/flatbuffers.h>

#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <vector>

namespace bilberrycourse {

// Provides bytes at an address that is aligned for every scalar. A payload
// inside a larger frame can start at any address; misaligned bytes are copied.
class aligned_bytes {
 public:
  explicit aligned_bytes(std::string_view bytes)
      : data_(reinterpret_cast<const std::uint8_t*>(bytes.data())),
        size_(bytes.size()) {
    if (reinterpret_cast<std::uintptr_t>(data_) % alignof(std::uint64_t) == 0) {
      return;
    }
    copy_.resize(size_ / sizeof(std::uint64_t) + 1);
    std::memcpy(copy_.data(), bytes.data(), size_);
    data_ = reinterpret_cast<const std::uint8_t*>(copy_.data());
  }
  aligned_bytes(const aligned_bytes&) = delete;
  aligned_bytes& operator=(const aligned_bytes&) = delete;

  // Returns the root of the verified buffer; nullptr if it is malformed.
  template <typename table>
  const table* Root() const {
    // The smallest valid buffer holds an offset to the root table and an offset
    // to its vtable.
    if (size_ < 2 * sizeof(flatbuffers::uoffset_t)) return nullptr;
    flatbuffers::Verifier verifier(data_, size_);
    return verifier.VerifyBuffer<table>(nullptr)
               ? flatbuffers::GetRoot<table>(data_)
               : nullptr;
  }

 private:
  const std::uint8_t* data_;
  std::size_t size_;
  std::vector<std::uint64_t> copy_;
};

inline std::string ToBytes(const flatbuffers::FlatBufferBuilder& builder) {
  return std::string(reinterpret_cast<const char*>(builder.GetBufferPointer()),
                     builder.GetSize());
}

inline std::string ToString(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_WIRE_BUFFER_H_
