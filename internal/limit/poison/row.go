package poison

import (
	"encoding/json"
	"fmt"
)

// rowCap bounds the holds of the table row (docs/design.md section 17).
const rowCap = 1000

// Export returns the value of the table row Holds: the most recently used
// holds that are in force or were lifted, as JSON.
func (ho *Holds) Export() ([]byte, error) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	now := ho.clk.Now()
	row := make([]Hold, 0, ho.digests.holds.Len())
	for el := ho.digests.holds.Front(); el != nil && len(row) < rowCap; el = el.Next() {
		if mk := el.Value.(*digestRecord); now.Before(mk.hold.Until) {
			row = append(row, mk.hold)
		}
	}
	return json.Marshal(row)
}

// Import merges the value of the table row Holds. It applies lifts and never
// shortens a hold. It fails on malformed JSON and on more than 1,000 holds.
func (ho *Holds) Import(value []byte) error {
	var row []Hold
	if err := json.Unmarshal(value, &row); err != nil {
		return fmt.Errorf("row Holds: %w", err)
	}
	if len(row) > rowCap {
		return fmt.Errorf("row Holds: %d holds, at most %d", len(row), rowCap)
	}
	ho.mu.Lock()
	defer ho.mu.Unlock()
	now := ho.clk.Now()
	for _, hold := range row {
		if now.Before(hold.Until) {
			ho.digests.hold(hold, now)
		}
	}
	ho.size.Store(int64(ho.digests.len()))
	return nil
}
