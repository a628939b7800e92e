#pragma once

// Edits of a configuration document and the differences between two, for the
// operators' commands.
//
//   std::optional<std::string> text = WithdrawKeys(document, { "k1" });
//   for (const DocumentDifference& row : CompareDocuments(left, right)) { ... }

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotsail {

// A key as an operator hands it to a customer, with what the document keeps.
struct IssuedKey
{
  std::string id_;
  // Shown once; the document has only its hash.
  std::string secret_;
  std::string sha256_;
};

// A key with a random id of 64 bits and a random secret of 256 bits.
IssuedKey
MakeKey();

// The document with the key added. Returns nothing when the document is not
// valid, the customer does not exist or the id is taken.
std::optional<std::string>
AddKey(std::string_view aDocument,
       const std::string& aCustomer,
       const IssuedKey& aKey);

// The document with the keys withdrawn. Ids that it does not have are left out.
// Returns nothing when the document is not valid.
std::optional<std::string>
WithdrawKeys(std::string_view aDocument, const std::vector<std::string>& aIds);

// An item that is in one of two documents only or differs between them.
struct DocumentDifference
{
  std::string section_;
  // For example "k1"; empty for a field of the whole document.
  std::string item_;
  // JSON text of the item; empty where it does not exist.
  std::string left_;
  std::string right_;
};

// Empty when the documents are equal or one of them is not valid.
std::vector<DocumentDifference>
CompareDocuments(std::string_view aLeft, std::string_view aRight);

}
