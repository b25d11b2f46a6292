#include "dispatch/customer_table.h"

#include <bit>
#include <functional>
#include <limits>
#include <utility>

namespace vanillafall {
namespace {

// Numbers of texts that are stored elsewhere, found by the text's hash: open
// addressing with linear probing in one block of four bytes a slot.
class TextIndex {
 public:
  static constexpr std::uint32_t kNone =
      std::numeric_limits<std::uint32_t>::max();

  // Makes room for this number of texts. At most two thirds of the slots get
  // used, so that few are probed for one text.
  void Reserve(std::size_t texts) {
    slots_.assign(std::bit_ceil(texts + texts / 2 + 1), kNone);
  }

  // The slot of the text, or the free slot where it belongs. `get_text` returns
  // the text of a number. There is always a free slot.
  template <typename GetText>
  std::uint32_t& Slot(std::string_view text, const GetText& get_text) {
    return slots_[Find(text, get_text)];
  }

  // The number of the text; kNone when it is not there.
  template <typename GetText>
  std::uint32_t NumberOf(std::string_view text, const GetText& get_text) const {
    return slots_[Find(text, get_text)];
  }

 private:
  template <typename GetText>
  std::size_t Find(std::string_view text, const GetText& get_text) const {
    const std::size_t mask = slots_.size() - 1;
    std::size_t slot = std::hash<std::string_view>()(text) & mask;
    while (slots_[slot] != kNone && get_text(slots_[slot]) != text) {
      slot = (slot + 1) & mask;
    }
    return slot;
  }

  std::vector<std::uint32_t> slots_;
};

}  // namespace

class CustomerTable::Data {
 public:
  explicit Data(const std::vector<CustomerEntry>& entries) {
    std::size_t key_count = 0;
    std::size_t key_bytes = 0;
    for (const CustomerEntry& entry : entries) {
      key_count += entry.keys.size();
      for (const std::string& key : entry.keys) {
        key_bytes += key.size();
      }
    }
    customers_.reserve(entries.size());
    customer_by_name_.Reserve(entries.size());
    keys_.reserve(key_count);
    key_texts_.reserve(key_bytes);
    key_by_text_.Reserve(key_count);
  }
  Data(const Data&) = delete;
  Data& operator=(const Data&) = delete;

  // Returns the customer's number; nothing when the name is taken.
  std::optional<std::uint32_t> AddCustomer(Customer customer) {
    std::uint32_t& slot = customer_by_name_.Slot(customer.name, name_of_);
    if (slot != TextIndex::kNone) {
      return std::nullopt;
    }
    slot = static_cast<std::uint32_t>(customers_.size());
    customers_.push_back(std::move(customer));
    return slot;
  }

  // Adds a key of the customer. When another customer has it, it belongs to
  // none from then on; returns that customer, the first time.
  const Customer* AddKey(const std::string& text, std::uint32_t customer) {
    std::uint32_t& slot = key_by_text_.Slot(text, text_of_);
    if (slot == TextIndex::kNone) {
      slot = static_cast<std::uint32_t>(keys_.size());
      keys_.push_back({static_cast<std::uint32_t>(key_texts_.size()),
                       static_cast<std::uint32_t>(text.size()), customer});
      key_texts_ += text;
      return nullptr;
    }
    Key& key = keys_[slot];
    if (key.customer == customer || key.customer == TextIndex::kNone) {
      return nullptr;
    }
    return &customers_[std::exchange(key.customer, TextIndex::kNone)];
  }

  const Customer* FindByKey(std::string_view text) const {
    const std::uint32_t key = key_by_text_.NumberOf(text, text_of_);
    return key == TextIndex::kNone ? nullptr : At(keys_[key].customer);
  }
  const Customer* FindByName(std::string_view name) const {
    return At(customer_by_name_.NumberOf(name, name_of_));
  }
  std::size_t size() const { return customers_.size(); }

 private:
  struct Key {
    std::uint32_t begin = 0;
    std::uint32_t size = 0;
    // kNone where the key belongs to several customers.
    std::uint32_t customer = 0;
  };

  // Functions that return the text of a number, for TextIndex.
  struct NameOf {
    const Data& data;
    std::string_view operator()(std::uint32_t customer) const {
      return data.customers_[customer].name;
    }
  };
  struct TextOf {
    const Data& data;
    std::string_view operator()(std::uint32_t key) const {
      const Key& found = data.keys_[key];
      return std::string_view(data.key_texts_).substr(found.begin, found.size);
    }
  };

  const Customer* At(std::uint32_t customer) const {
    return customer == TextIndex::kNone ? nullptr : &customers_[customer];
  }

  std::vector<Customer> customers_;
  TextIndex customer_by_name_;
  std::vector<Key> keys_;
  // The texts of all keys, one after the other.
  std::string key_texts_;
  TextIndex key_by_text_;
  const NameOf name_of_{*this};
  const TextOf text_of_{*this};
};

CustomerTable::CustomerTable(std::vector<CustomerEntry> entries,
                             bool requires_keys,
                             CustomerConflicts* conflicts)
    : requires_keys_(requires_keys) {
  CustomerConflicts found;
  const auto data = std::make_shared<Data>(entries);
  for (CustomerEntry& entry : entries) {
    const std::string name = entry.customer.name;
    const auto customer = data->AddCustomer(std::move(entry.customer));
    if (!customer) {
      if (found.repeated_names++ == 0) {
        found.repeated_name = name;
      }
      continue;
    }
    for (const std::string& key : entry.keys) {
      const Customer* other = data->AddKey(key, *customer);
      if (other != nullptr && found.shared_keys++ == 0) {
        found.first_sharer = other->name;
        found.second_sharer = name;
      }
    }
  }
  data_ = data;
  if (conflicts != nullptr) {
    *conflicts = std::move(found);
  }
}

CustomerPtr CustomerTable::FindByKey(std::string_view key) const {
  const Customer* found = data_ ? data_->FindByKey(key) : nullptr;
  return found == nullptr ? nullptr : CustomerPtr(data_, found);
}

CustomerPtr CustomerTable::FindByName(std::string_view name) const {
  const Customer* found = data_ ? data_->FindByName(name) : nullptr;
  return found == nullptr ? nullptr : CustomerPtr(data_, found);
}

std::size_t CustomerTable::size() const {
  return data_ ? data_->size() : 0;
}

}  // namespace vanillafall
