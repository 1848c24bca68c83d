#include "app/folder_set_aside.h"

#include <algorithm>
#include <string_view>

namespace bilberrycourse {
namespace {

constexpr std::string_view kPrefixes[] = {"set-aside-1-", "set-aside-2-"};

bool IsSetAside(std::string_view name) {
  return std::any_of(
      std::begin(kPrefixes), std::end(kPrefixes),
      [&](std::string_view prefix) { return name.starts_with(prefix); });
}

// Orders log files by generation, before all other files.
bool ComesFirst(const std::string& a, const std::string& b) {
  const std::uint64_t first = LogGeneration(a);
  const std::uint64_t second = LogGeneration(b);
  if (first == 0 || second == 0) return first != 0 && second == 0;
  return first < second;
}

// Returns the first prefix that no file has, or an empty one if all are used.
std::string_view FreePrefix(const std::vector<std::string>& names) {
  for (const std::string_view prefix : kPrefixes) {
    if (std::none_of(names.begin(), names.end(), [&](const std::string& name) {
          return name.starts_with(prefix);
        })) {
      return prefix;
    }
  }
  return {};
}

}  // namespace

result_code SetFolderAside(storage_files* files) {
  std::vector<std::string> names;
  result_code code = files->List(&names);
  if (code != result_code::kOk) return code;
  const std::string_view prefix = FreePrefix(names);
  std::erase_if(names, IsSetAside);
  std::sort(names.begin(), names.end(), ComesFirst);
  for (const std::string& name : names) {
    code = prefix.empty() ? files->Remove(name)
                          : files->Rename(name, std::string(prefix) + name);
    // Each step is synced, so that the newest log leaves after the older ones
    // and before the mark: an older log alone would open as a complete one.
    if (code == result_code::kOk) code = files->SyncFolder();
    if (code != result_code::kOk) return code;
  }
  return result_code::kOk;
}

std::vector<std::string> SetAsideFiles(storage_files* files) {
  std::vector<std::string> names;
  if (files->List(&names) != result_code::kOk) return {};
  std::erase_if(names,
                [](const std::string& name) { return !IsSetAside(name); });
  return names;
}

result_code RemoveSetAside(storage_files* files) {
  for (const std::string& name : SetAsideFiles(files)) {
    const result_code code = files->Remove(name);
    if (code != result_code::kOk) return code;
  }
  return files->SyncFolder();
}

}  // namespace bilberrycourse
