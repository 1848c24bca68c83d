#ifndef APP_FOLDER_SET_ASIDE_H_
#define APP_FOLDER_SET_ASIDE_H_

// Keeps the files of a data folder that can't be used, while its instance
// rejoins the group with an empty one.
//
//   SetFolderAside(files);      // the folder is damaged or foreign
//   log_store::Open();          // creates a new log beside the kept files
//   RemoveSetAside(files);      // the group has taken the new member in
//
// Several instances may find their folders damaged at the same time. Until the
// group has taken an instance in as a new member, its old files may be the last
// copy of something, so only an operator or the group's consent removes them.
//
// At most two sets of files are kept. A third one could only stem from a
// member that was never taken in.

#include <string>
#include <vector>

#include "app/log_store.h"
#include "bilberrycourse/result_code.h"

namespace bilberrycourse {

// Renames the log files and the sync mark of the folder. A loss of power at any
// time leaves a folder that is recognized as damaged, or one without a log.
result_code SetFolderAside(storage_files* files);

// Returns the names of the files that SetFolderAside() has kept.
std::vector<std::string> SetAsideFiles(storage_files* files);

result_code RemoveSetAside(storage_files* files);

}  // namespace bilberrycourse

#endif  // APP_FOLDER_SET_ASIDE_H_
