#include "cranberryhill/table/table_service.h"

namespace cranberryhill {

const Row* FindRow(const std::vector<Row>& rows, std::string_view key) {
  for (const Row& row : rows) {
    if (row.key == key)
      return &row;
  }
  return nullptr;
}

uint64_t VersionOf(const std::vector<Row>& rows, std::string_view key) {
  const Row* row = FindRow(rows, key);
  return row == nullptr ? kAbsentVersion : row->version;
}

}  // namespace cranberryhill
